"""`python -m anisefront`: the same as the `anisefront` command."""

from anisefront.cli.main import main

if __name__ == "__main__":
    main()
