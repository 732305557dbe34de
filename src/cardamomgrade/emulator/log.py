"""Emulated store as pure state: keyed topics, writer epochs, conditional appends."""

import attrs

ANSWERS_KEPT = 5


@attrs.define
class _Writer:
    """The newest epoch of one writer on one topic and the answers to its appends."""

    epoch: int
    sequence: int
    answers: dict = attrs.field(factory=dict)


@attrs.frozen
class Reply:
    """HTTP status and JSON fields of an answer."""

    status: int
    fields: dict


class EmulatedLog:
    """Topics of one partition each; a record is a (key, value) pair of bytes."""

    def __init__(self):
        self._topics = {}
        self._first = {}
        self._writers = {}

    def records(self, topic):
        """Return all records of a topic, also those that have expired."""
        return self._topics.setdefault(topic, [])

    def end(self, topic):
        """Return the offset of the next record."""
        return len(self.records(topic))

    def first(self, topic):
        """Return the offset of the oldest record that is retained."""
        return self._first.get(topic, 0)

    def expire(self, topic):
        """Delete all records; ``newest`` still returns the newest of each key."""
        self._first[topic] = self.end(topic)

    def append(self, topic, pairs, at=None, producer=None, epoch=0, sequence=0):
        """Append pairs and return the Reply.

        With ``at`` the append is refused unless the topic ends at that offset. With
        ``producer`` the epoch and sequence are checked, and a repeat of one of the last
        ANSWERS_KEPT appends gets the original answer.
        """
        writer = self._writers.get((topic, producer)) if producer else None
        if writer is not None:
            if epoch < writer.epoch:
                return Reply(409, {"reason": "fenced"})
            if epoch == writer.epoch and sequence in writer.answers:
                return writer.answers[sequence]
            if epoch == writer.epoch and sequence != writer.sequence + 1:
                expected = writer.sequence + 1
                return Reply(409, {"reason": "seq", "sequence": expected})
        if at is not None and at != self.end(topic):
            return Reply(412, {"end": self.end(topic)})
        offset = self.end(topic)
        self.records(topic).extend(pairs)
        reply = Reply(200, {"offset": offset, "end": self.end(topic)})
        if producer:
            self._store_answer(topic, producer, epoch, sequence, reply)
        return reply

    def _store_answer(self, topic, producer, epoch, sequence, reply):
        writer = self._writers.get((topic, producer))
        if writer is None or epoch > writer.epoch:
            writer = self._writers[topic, producer] = _Writer(epoch, sequence)
        writer.sequence = sequence
        writer.answers[sequence] = reply
        for old in list(writer.answers)[:-ANSWERS_KEPT]:
            del writer.answers[old]

    def newest(self, topic):
        """Return {key: (value, offset)} of the newest record of each key."""
        found = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            if value:
                found[key] = (value, offset)
            else:
                found.pop(key, None)
        return found
