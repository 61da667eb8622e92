"""What one process costs as the fleet grows: the real cores and codecs, at a few sizes, with lines."""
