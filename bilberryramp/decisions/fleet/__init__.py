"""Decisions of a fleet node: one program on every instance behind a balancer.

`register` keeps the service document on the nodes with a disk, `presence`
the upstreams that announce themselves, `sharing` what the other entries have
in flight, `scheduling` where a call goes, `gateway` the life of a call and
`orders` what engines are told to hold.
"""
