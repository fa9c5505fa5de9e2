"""The demo and annotated settings."""
