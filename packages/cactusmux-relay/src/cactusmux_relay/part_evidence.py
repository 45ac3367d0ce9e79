"""Decides which parts of prompts, or requests, end the targets that run them.

A request whose content ends every target that begins to write on it (a
"query of death") takes a model's targets away one after the other, as each
repeat and each further request with that content goes to another target.

When a target ends, all requests that it had just begun to write on are
suspect, and so are all parts that they share with others. Most of them are
sound: targets end for many reasons, and sound requests stand beside a fatal
one. So a part is cleared as soon as any request with it has been served, and
is quarantined when several targets have ended under it and none was served
in between. Ends that a fatal part explains count for no other part. Parts
under which the same targets ended are told apart by requests that have only
one of them. For whole requests there is no such way: all that were at the same
ends are refused.

A fatal request ends targets one after the other, each after it was sent
there. Targets that end at one moment, as when a zone loses power, ended for
another reason, whatever they had begun: such ends count once.

There is no network here and no clock: callers give the time.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from . import prompt_parts
from . import served_keys
from . import targets

NEVER = served_keys.NEVER
# Ends after which a part is quarantined: two may coincide with a sound part,
# as when a request and its repeat meet a failure of many targets.
MIN_CRASHES = 3
# The same for a part that has been served within PROVEN_S before.
MIN_CRASHES_OF_PROVEN = 5
PROVEN_S = 60.0
# For how long an end counts, and a quarantine holds after the last request.
LIFETIME_S = 600.0
# For how long it is remembered that a part was cleared, to tell others.
CLEARED_S = 10.0
# Ends that are kept; beyond that the oldest ones that quarantine nothing are
# dropped first.
MAX_CRASHES = 64
# Parts that are kept for each end.
MAX_PARTS_PER_CRASH = 32
# A part of one organisation's requests is quarantined for that organisation
# alone, until requests of others have ended targets, too.
MIN_ORGANISATIONS = 2


class Crash(NamedTuple):
    """A target that ended just after it had begun to write.

    :ivar at: when it ended, in monotonic seconds.
    :ivar organisation_by_key: the parts of the requests that it had begun to
        write on, and whose request it was.
    :ivar cleared: those of the parts that were served after it.
    :ivar sent_at_by_key: when the requests were sent to it, in monotonic
        seconds, the latest one for each part; the builds before don't say.
    """

    start: targets.Start
    at: float
    organisation_by_key: Mapping[prompt_parts.PartKey, str]
    cleared: frozenset[prompt_parts.PartKey] = frozenset()
    sent_at_by_key: Mapping[prompt_parts.PartKey, float] = {}

    def sent_at(self, key: prompt_parts.PartKey) -> float:
        """Returns when a request with a part was sent to the target."""
        return self.sent_at_by_key.get(key, self.at)


def independent_crashes(
    key: prompt_parts.PartKey, crashes: Sequence[Crash]
) -> list[Crash]:
    """Returns those ends under a part that don't come together.

    Each request was sent after the end before it.

    :param crashes: oldest first.
    """
    found: list[Crash] = []
    for crash in crashes:
        if not found or crash.sent_at(key) >= found[-1].at:
            found.append(crash)
    return found


class PartEvidence:
    """Evidence for and against the parts of prompts."""

    def __init__(self) -> None:
        self._crash_by_start: dict[targets.Start, Crash] = {}
        self._served = served_keys.ServedKeys()
        self._cleared_at_by_key: dict[prompt_parts.PartKey, float] = {}
        self._requested_at_by_key: dict[prompt_parts.PartKey, float] = {}
        # Conclusions, drawn anew after each change of the evidence.
        self._crashes_by_key: dict[prompt_parts.PartKey, list[Crash]] = {}
        # The quarantined parts, each with those that may be fatal instead.
        self._alternatives_by_key: dict[
            prompt_parts.PartKey, frozenset[prompt_parts.PartKey]
        ] = {}

    @property
    def all_crashes(self) -> list[Crash]:
        """All ends of targets that are known."""
        return list(self._crash_by_start.values())

    @property
    def cleared_at_by_key(self) -> Mapping[prompt_parts.PartKey, float]:
        """The parts that were cleared a short time ago."""
        return self._cleared_at_by_key

    @property
    def requested_at_by_key(self) -> Mapping[prompt_parts.PartKey, float]:
        """When a request for each quarantined part was last refused."""
        return self._requested_at_by_key

    @property
    def quarantined(self) -> frozenset[prompt_parts.PartKey]:
        """The parts for which some requests are refused."""
        return frozenset(self._alternatives_by_key)

    def crashes(self, key: prompt_parts.PartKey) -> list[Crash]:
        """Returns the ends that count against a part, oldest first."""
        return independent_crashes(key, self._crashes_by_key.get(key, []))

    def served_at(self, key: prompt_parts.PartKey) -> float:
        """Returns when a part was last served, ``NEVER`` if not known."""
        return self._served.at(key)

    def is_proven(self, key: prompt_parts.PartKey, now: float) -> bool:
        """Whether a part has been served a short time ago."""
        return now - self.served_at(key) < PROVEN_S

    def record_served(
        self, keys: Collection[prompt_parts.PartKey], at: float
    ) -> bool:
        """Records that a request was written on without ending a target.

        :returns: whether this has cleared a part of a suspicion.
        """
        for key in keys:
            self._served.record(key, at)
        suspected = self._crashes_by_key.keys() & set(keys)
        for key in suspected:
            self._clear(key, at)
        if suspected:
            self._conclude(at)
        return bool(suspected)

    def _clear(self, key: prompt_parts.PartKey, at: float) -> None:
        """Marks a part as cleared in all ends up to a time."""
        self._cleared_at_by_key[key] = at
        for start, crash in self._crash_by_start.items():
            if key in crash.organisation_by_key and crash.at <= at:
                self._crash_by_start[start] = crash._replace(
                    cleared=crash.cleared | {key}
                )

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Records that a target ended just after it began to write.

        :returns: whether this is new.
        """
        known = self._crash_by_start.get(crash.start)
        organisation_by_key = dict(known.organisation_by_key if known else {})
        known_keys = frozenset(organisation_by_key)
        for key, organisation in crash.organisation_by_key.items():
            if _make_room(key, organisation_by_key):
                organisation_by_key.setdefault(key, organisation)
        if organisation_by_key.keys() <= known_keys:
            return False
        sent_at_by_key = dict(known.sent_at_by_key if known else {})
        for key, sent_at in crash.sent_at_by_key.items():
            known_at = sent_at_by_key.get(key, sent_at)
            sent_at_by_key[key] = max(known_at, sent_at)
        at = min(known.at, crash.at) if known else crash.at
        self._crash_by_start[crash.start] = Crash(
            crash.start,
            at,
            organisation_by_key,
            known.cleared if known else frozenset(),
            sent_at_by_key,
        )
        self._conclude(now)
        self._drop_excess()
        return True

    def record_request(self, key: prompt_parts.PartKey, at: float) -> None:
        """Records a request for a quarantined part, which prolongs it."""
        if key in self._alternatives_by_key:
            known = self._requested_at_by_key.get(key, NEVER)
            self._requested_at_by_key[key] = max(known, at)

    def find_quarantined(
        self, requester: prompt_parts.Requester
    ) -> prompt_parts.PartKey | None:
        """Returns the part for which a request is to be refused, if any.

        If others of its parts may be fatal in its place, all have to be in
        the request.
        """
        for key in requester.keys:
            alternatives = self._alternatives_by_key.get(key)
            if alternatives is None or not alternatives.issubset(
                requester.keys
            ):
                continue
            organisations = {
                each.organisation_by_key[key]
                for each in self._crashes_by_key[key]
            }
            if (
                requester.organisation in organisations
                or len(organisations) >= MIN_ORGANISATIONS
            ):
                return key
        return None

    def prune(self, now: float) -> None:
        """Drops expired evidence."""
        for start, crash in list(self._crash_by_start.items()):
            last_at = max(
                crash.at,
                *(
                    self._requested_at_by_key.get(key, NEVER)
                    for key in crash.organisation_by_key
                ),
            )
            if now - last_at > LIFETIME_S:
                del self._crash_by_start[start]
        for key, cleared_at in list(self._cleared_at_by_key.items()):
            if now - cleared_at > CLEARED_S:
                del self._cleared_at_by_key[key]
        self._conclude(now)

    def _conclude(self, now: float) -> None:
        """Draws the conclusions from all evidence.

        A part that was found fatal before is considered first, then the
        one with most ends. What it explains doesn't count for the others.
        """
        uncleared = self._uncleared()
        fatal: dict[prompt_parts.PartKey, list[Crash]] = {}
        while True:
            explained = {
                each.start for found in fatal.values() for each in found
            }
            crashes_by_key = _without(uncleared, explained)
            alternatives_by_key = self._find_alternatives(crashes_by_key, now)
            certain = [
                key
                for key, alternatives in alternatives_by_key.items()
                if not alternatives
            ]
            if not certain:
                break
            key = max(
                certain,
                key=lambda each: (
                    self._was_fatal(each),
                    len(crashes_by_key[each]),
                ),
            )
            fatal[key] = crashes_by_key[key]
            for other in _equal_requests(key, certain, crashes_by_key):
                fatal[other] = crashes_by_key[other]
        self._crashes_by_key = {**crashes_by_key, **fatal}
        self._alternatives_by_key = {
            **alternatives_by_key,
            **dict.fromkeys(fatal, frozenset[prompt_parts.PartKey]()),
        }
        for key in (
            self._requested_at_by_key.keys() - self._alternatives_by_key
        ):
            del self._requested_at_by_key[key]

    def _was_fatal(self, key: prompt_parts.PartKey) -> bool:
        """Whether the last conclusion left no alternative to a part."""
        return self._alternatives_by_key.get(key) == frozenset()

    def _uncleared(self) -> dict[prompt_parts.PartKey, list[Crash]]:
        """Returns the ends since each part was last served."""
        found: dict[prompt_parts.PartKey, list[Crash]] = {}
        ordered = sorted(
            self._crash_by_start.values(), key=lambda each: each.at
        )
        for crash in ordered:
            for key in crash.organisation_by_key.keys() - crash.cleared:
                if crash.at > self.served_at(key):
                    found.setdefault(key, []).append(crash)
        return found

    def _are_enough(
        self,
        key: prompt_parts.PartKey,
        crashes: Sequence[Crash],
        now: float,
    ) -> bool:
        count = len(independent_crashes(key, crashes))
        if self.is_proven(key, now):
            return count >= MIN_CRASHES_OF_PROVEN
        return count >= MIN_CRASHES

    def _find_alternatives(
        self,
        crashes_by_key: Mapping[prompt_parts.PartKey, list[Crash]],
        now: float,
    ) -> dict[prompt_parts.PartKey, frozenset[prompt_parts.PartKey]]:
        """Returns the parts under which enough targets ended.

        With each come the parts that explain all these ends as well.
        """
        starts_by_key = {
            key: frozenset(each.start for each in crashes)
            for key, crashes in crashes_by_key.items()
        }
        return {
            key: frozenset(
                other
                for other in crashes[0].organisation_by_key
                if other != key
                and not (key.is_request and other.is_request)
                and starts_by_key[key] <= starts_by_key.get(other, frozenset())
                and not self.is_proven(other, now)
            )
            for key, crashes in crashes_by_key.items()
            if self._are_enough(key, crashes, now)
        }

    def _drop_excess(self) -> None:
        """Drops the oldest ends, first those that quarantine nothing."""
        while len(self._crash_by_start) > MAX_CRASHES:
            oldest = min(
                self._crash_by_start.values(),
                key=lambda each: (
                    not self._alternatives_by_key.keys().isdisjoint(
                        each.organisation_by_key
                    ),
                    each.at,
                ),
            )
            del self._crash_by_start[oldest.start]


def _make_room(
    key: prompt_parts.PartKey,
    organisation_by_key: dict[prompt_parts.PartKey, str],
) -> bool:
    """Whether a part or request can be kept for an end.

    Many requests wait at a target, each with an own key. One of them makes
    room for a part, which many may share.
    """
    if len(organisation_by_key) < MAX_PARTS_PER_CRASH:
        return True
    if key.is_request or key in organisation_by_key:
        return False
    for other in reversed(organisation_by_key):
        if other.is_request:
            del organisation_by_key[other]
            return True
    return False


def _equal_requests(
    key: prompt_parts.PartKey,
    others: Collection[prompt_parts.PartKey],
    crashes_by_key: Mapping[prompt_parts.PartKey, list[Crash]],
) -> list[prompt_parts.PartKey]:
    """Returns the requests with the same ends as a request.

    Nothing tells which of them is fatal, so all of them are refused.
    """
    if not key.is_request:
        return []
    starts = {each.start for each in crashes_by_key[key]}
    return [
        other
        for other in others
        if other.is_request
        and {each.start for each in crashes_by_key[other]} == starts
    ]


def _without(
    crashes_by_key: Mapping[prompt_parts.PartKey, list[Crash]],
    explained: Collection[targets.Start],
) -> dict[prompt_parts.PartKey, list[Crash]]:
    """Returns the ends by part without those that are explained."""
    if not explained:
        return dict(crashes_by_key)
    left_by_key = {
        key: [each for each in crashes if each.start not in explained]
        for key, crashes in crashes_by_key.items()
    }
    return {key: left for key, left in left_by_key.items() if left}
