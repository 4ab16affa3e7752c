"""fordstair: the coordinator that puts the cairnhoist decision module to work on sockets."""
