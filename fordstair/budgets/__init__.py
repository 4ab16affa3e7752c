"""Budgets of the whole fleet, divided among its coordinators by leases; no allotment outlives its lease.

``plan`` states the limits and every rule of time and division between floors and leases, ``division`` how
what is lendable is divided. ``member`` is one coordinator's state machine: ``voter`` and
``leader_election`` choose the one leader, ``lease_grants`` is that leader's book, ``lease_client`` and
``lease_holder`` are every member's side. ``local_limits`` keeps requests within the allotment.
``transport`` runs it all on a UDP socket.
"""
