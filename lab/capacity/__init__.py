"""Cost of one process as the fleet grows: the production cores and codecs at a few sizes, with fits."""
