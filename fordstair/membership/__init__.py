"""Which coordinators of a fleet are alive: SWIM with Lifeguard, as a state machine and a UDP transport."""
