"""Requests and parts of prompts that end the engines that run them.

suspects, suspect_evidence, suspect_trials, suspect_publications
    What a single node does: admission, evidence, trials, published lists.
suspect_memory
    Lists of suspects that outlast a restart.
quarantine_coordinator, coordinator_*
    What the node that leads the register decides for all nodes.
quarantine_messages
    Messages between the two.
upstream_ends
    Losses of engines as their heartbeats show them.
"""
