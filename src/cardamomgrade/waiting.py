"""Queues of the tasks of one pool that wait for capacity.

Urgent tasks come first; the others are taken from the teams in rotation.
"""

from collections import deque, OrderedDict

import attrs


@attrs.frozen
class NextTask:
    """A team and its first waiting task."""

    team: str
    task: str


class WaitingTasks:
    """Names of the waiting tasks of one pool, urgent ones apart, the others by team.

    Names of tasks that no longer wait are removed only when they are reached.
    ``untried_teams`` is the number of teams not tried since the pool changed, or None
    when no team was tried since.
    """

    def __init__(self):
        self._urgent = OrderedDict()
        self._teams = OrderedDict()
        self.untried_teams = None

    @property
    def teams(self):
        """The number of teams with queued tasks."""
        return len(self._teams)

    def push(self, spec, first=False):
        """Queue a task; ``first`` puts it before the others of its team.

        Urgent tasks are queued in order of arrival, whatever ``first`` is.
        """
        if spec.urgent:
            self._urgent[spec.task] = True
            return
        queue = self._teams.setdefault(spec.team, deque())
        if first:
            queue.appendleft(spec.task)
        else:
            queue.append(spec.task)

    def drop(self, spec):
        """Remove an urgent task, or the first task of the team of ``spec``."""
        if spec.urgent:
            self._urgent.pop(spec.task, None)
            return
        queue = self._teams[spec.team]
        queue.popleft()
        if not queue:
            del self._teams[spec.team]

    def urgent(self, is_waiting):
        """Return the names of the urgent tasks in order of arrival.

        ``is_waiting(name)`` returns whether a task still waits; others are removed.
        """
        for task in [name for name in self._urgent if not is_waiting(name)]:
            del self._urgent[task]
        return list(self._urgent)

    def next_team(self, skipped, is_waiting):
        """Return the NextTask of the next team in rotation, or None.

        Teams without a waiting task are removed and those in ``skipped`` passed by;
        the returned team moves to the end of the rotation.
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
                return NextTask(team, queue[0])
        return None
