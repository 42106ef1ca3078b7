"""A model of the fleet that runs the very module of the gatekeepers, and what is needed to ask it things."""
