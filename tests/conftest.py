"""The same verdict every time: drawn examples come from the test alone."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
