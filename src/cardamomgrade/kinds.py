"""Registration of message and record classes by their number on the wire."""

import attrs


def kind_registrar(classes):
    """Return ``kind(number)``, a class decorator that registers a class in ``classes``.

    It makes the class a frozen attrs class, sets its ``KIND`` to the number and adds
    it to the dict ``classes`` under that number. Raises ValueError for a duplicate.
    """

    def kind(number):
        def register(cls):
            cls = attrs.frozen(cls)
            cls.KIND = number
            if number in classes:
                raise ValueError(f"kind {number} is defined twice")
            classes[number] = cls
            return cls

        return register

    return kind
