"""fordstair: a coordinator that runs the decision module (fordstair.decisions) over network connections."""
