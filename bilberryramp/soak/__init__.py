"""Fault soak: run the real programs on one machine and inject faults.

`schedule` draws the faults from a seed. `local_fleet` starts the programs and
injects the faults through `processes` and `proxy`, while `run` simulates
callers, an operator and engine heartbeats. `engine_troubles` lets engines
pause or fail requests, and `slow_senders` are clients that send bodies in
pieces. `checks`, `budget_checks` and `stop_checks` then compare the recorded
`observations` with the guarantees of the system.
"""
