"""Selects instances of a plain service from the instance list."""

from collections.abc import Callable, Iterable
import random

from cactusmux_base import timers
from cactusmux_platform import instances
from cactusmux_platform import plain_services

from . import addresses
from . import leaving_watch
from . import plain_calls

# Reason of refusals by a service that is about to stop.
LEAVING_REASON = 'leaving'
FAILURE_BACKOFF_S = 5.0


class ListedPlainTargets(plain_calls.PlainTargets):
    """Orders instances by recent failures, then own zone, then region.

    Instances of equal rank are in random order.
    """

    def __init__(
        self,
        listing: Callable[[], Iterable[instances.ListedInstance]],
        leaving: leaving_watch.LeavingWatch,
        place: addresses.Place,
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        self._listing = listing
        self._leaving = leaving
        self._place = place
        self._timer = timer
        self._rng = rng
        self._avoided_until_by_address: dict[str, float] = {}

    def candidates(self, plain_service: str) -> tuple[str, ...]:
        leaving = self._leaving.leaving()
        available = [
            listed
            for listed in self._listing()
            if listed.role is instances.Role.PLAIN
            and listed.service == plain_service
            and not listed.leaving
            and listed.address not in leaving
        ]
        self._rng.shuffle(available)
        available.sort(key=self._rank)
        return tuple(listed.address for listed in available)

    def record_failure(
        self, address: str, failure: plain_services.PlainError
    ) -> None:
        if isinstance(failure, plain_services.ServiceRefused):
            if failure.detail == LEAVING_REASON:
                source = leaving_watch.Source.REFUSAL
                self._leaving.record_sign(address, source)
            return
        if isinstance(failure, plain_services.AnswerTooLarge):
            return
        now = self._timer.now()
        self._avoided_until_by_address = {
            known: until
            for known, until in self._avoided_until_by_address.items()
            if until > now
        }
        self._avoided_until_by_address[address] = now + FAILURE_BACKOFF_S

    def _rank(self, listed: instances.ListedInstance) -> tuple[bool, int]:
        until = self._avoided_until_by_address.get(listed.address, 0.0)
        is_avoided = self._timer.now() < until
        return is_avoided, self._place.distance(listed.zone, listed.region)
