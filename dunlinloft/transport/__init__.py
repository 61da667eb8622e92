"""Input and output that both programs share."""
