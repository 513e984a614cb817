"""Run the command line as `python -m hyssopvane`."""

import sys

from hyssopvane._internal.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
