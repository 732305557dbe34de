"""Tasks of one pool that wait for room: urgent ones first, teams in turn."""

from collections import deque, OrderedDict

import attrs


@attrs.frozen
class Turn:
    """A team and the first of its tasks that wait."""

    team: str
    task: str


class Waiting:
    """Names of waiting tasks; those that are over are dropped when met.

    ``untried`` is how many teams have not been tried since the pool changed, or None
    when it has changed and no team was tried yet.
    """

    def __init__(self):
        self._urgent = OrderedDict()
        self._teams = OrderedDict()
        self.untried = None

    @property
    def teams(self):
        """How many teams have tasks here."""
        return len(self._teams)

    def push(self, spec, first=False):
        """Add a task; ``first`` puts it before the others of its team."""
        if spec.urgent:
            self._urgent[spec.task] = True
            return
        queue = self._teams.setdefault(spec.team, deque())
        if first:
            queue.appendleft(spec.task)
        else:
            queue.append(spec.task)

    def drop(self, spec):
        """Take out an urgent task, or the first of its team."""
        if spec.urgent:
            self._urgent.pop(spec.task, None)
            return
        queue = self._teams[spec.team]
        queue.popleft()
        if not queue:
            del self._teams[spec.team]

    def urgent(self, is_waiting):
        """Return the urgent tasks in order of arrival."""
        for task in [name for name in self._urgent if not is_waiting(name)]:
            del self._urgent[task]
        return list(self._urgent)

    def next_team(self, skipped, is_waiting):
        """Return the Turn of the next team that has a waiting task, or None.

        The team goes to the end of the turn.
        """
        for _ in range(len(self._teams)):
            team = next(iter(self._teams))
            queue = self._teams[team]
            while queue and not is_waiting(queue[0]):
                queue.popleft()
            if not queue:
                del self._teams[team]
                continue
            self._teams.move_to_end(team)
            if team not in skipped:
                return Turn(team, queue[0])
        return None
