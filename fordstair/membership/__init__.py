"""Which coordinators of a fleet are alive: SWIM with Lifeguard, as a state machine and a UDP transport.

``swim`` is the state machine: it passes each message to ``failure_detector`` (probe rounds),
``indirect_probes`` (probes for others) or ``push_pull`` (anti-entropy), and each update to ``member_table``
(the transitions of other members' states, with ``suspicion``) or ``local_member`` (refutation).
``dissemination`` and ``outbox`` piggyback updates on what is sent; ``local_health`` slows a member down
that is slow itself. ``transport`` runs it on a socket.
"""
