"""Membership of a fleet of coordinators: SWIM with Lifeguard, as a state machine and a UDP transport.

``swim`` is the state machine: it passes each message to ``failure_detector`` (probe rounds),
``indirect_probes`` (probes for others) or ``push_pull`` (anti-entropy), and each update to ``member_table``
(state transitions of other members, with ``suspicion``) or ``local_member`` (refutation).
``dissemination`` and ``outbox`` piggyback updates on the messages sent; ``local_health`` stretches the
intervals and timeouts of a member that is slow itself. ``transport`` runs the state machine on a socket.
"""
