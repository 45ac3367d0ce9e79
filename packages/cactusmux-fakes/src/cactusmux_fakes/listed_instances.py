"""A fake instance list that shows edits after a delay."""

from cactusmux_base import timers
from cactusmux_platform import instances
from returns import result


class EditableList(instances.InstanceList):
    """Shows each edit after ``lag_s`` seconds; ``down`` makes it fail."""

    def __init__(self, timer: timers.TimerService, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.down = False
        self._timer = timer
        self._shown: tuple[instances.ListedInstance, ...] = ()
        self._edited: tuple[instances.ListedInstance, ...] = ()

    def fetch(
        self,
    ) -> result.Result[
        tuple[instances.ListedInstance, ...], instances.ListUnavailable
    ]:
        if self.down:
            return result.Failure(instances.ListUnavailable('stand-in'))
        return result.Success(self._shown)

    def set(self, listed: tuple[instances.ListedInstance, ...]) -> None:
        """Replaces the whole list."""
        self._edited = listed
        if self.lag_s <= 0:
            self._shown = listed
            return
        self._timer.after(self.lag_s, lambda: self._show(listed))

    def add(self, instance: instances.ListedInstance) -> None:
        """Adds an instance, replacing one at the same address."""
        kept = self._without(instance.address)
        self.set((*kept, instance))

    def remove(self, address: str) -> None:
        """Removes the instance at ``address`` from the list."""
        self.set(self._without(address))

    def mark_leaving(self, address: str) -> None:
        """Marks the instance at ``address`` as leaving."""
        self.set(
            tuple(
                one._replace(leaving=one.leaving or one.address == address)
                for one in self._edited
            )
        )

    def _without(self, address: str) -> tuple[instances.ListedInstance, ...]:
        return tuple(one for one in self._edited if one.address != address)

    def _show(self, listed: tuple[instances.ListedInstance, ...]) -> None:
        self._shown = listed
