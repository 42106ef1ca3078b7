"""The command line interface: thin sub-commands over the other packages."""
