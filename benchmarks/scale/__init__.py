"""The scale run: hollow gatekeepers beside real ones, one axis at a time, with fits and predictions (`make scale`)."""
