"""The settings language: a line-based format like those of nginx and other daemons."""
