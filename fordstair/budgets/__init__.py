"""Limits of the whole fleet, divided among its coordinators by leases; no allotment outlives its lease.

``plan`` defines the limits, the timing rules and the division between floors and leases; ``division`` divides
the lendable units. ``member`` is one coordinator's state machine: ``voter`` and ``leader_election`` elect the
single leader, ``lease_grants`` keeps the leases that the leader grants, ``lease_client`` and ``lease_holder``
are the side of every member. ``local_limits`` keeps requests within the allotment. ``transport`` runs the
state machine on a UDP socket.
"""
