"""The fault soak: real programs on one machine, with faults from outside.

`schedule` draws faults from a seed, `processes` and `proxy` inflict them,
`run` plays callers, operators and engines meanwhile, and `checks` compares
what these saw with the promises.
"""
