"""A bare circuits.web server, the baseline of the entry's throughput.

Usage: bare_web.py IP:PORT
"""

import sys

from circuits.web import Controller, Server


class Root(Controller):
    """Answers its path with a line."""

    def index(self):
        """Return the body of the answer."""
        return "answered\n"


def main():
    """Serve until the process is ended."""
    (Server(sys.argv[1], display_banner=False) + Root()).run()


if __name__ == "__main__":
    main()
