"""Virtual-time host: a single event heap, with fully deterministic runs for each seed."""
