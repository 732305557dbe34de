"""Small specifications of the core protocols, searched by z3."""
