"""Numbers for the classes of a wire format."""

import attrs


def numbered(classes):
    """Return ``kind(number)``, a decorator of frozen attrs classes.

    It sets the class's ``KIND`` and files the class in the dict ``classes``.
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
