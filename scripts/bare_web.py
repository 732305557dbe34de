"""A minimal circuits.web server, the baseline for the entry's throughput.

Usage: bare_web.py IP:PORT
"""

import sys

from circuits.web import Controller, Server


class Root(Controller):
    """Responds to ``/`` with one line."""

    def index(self):
        """Return the body of the response."""
        return "answered\n"


def main():
    """Serve until the process is ended."""
    (Server(sys.argv[1], display_banner=False) + Root()).run()


if __name__ == "__main__":
    main()
