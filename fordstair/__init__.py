"""fordstair: the coordinator that puts the fordstair.decisions decision module to work on sockets."""
