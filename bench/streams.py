"""Generates load of streamed drafts, recording the time of each token."""

import random
import time
from typing import NamedTuple

import gevent

from demo import callers


class StreamRecord(NamedTuple):
    """One stream, with the times of its request and tokens, in seconds."""

    sent_at: float
    token_times: tuple[float, ...]
    answer: callers.Answer

    @property
    def first_token_s(self) -> float:
        """Seconds from the request to the first token."""
        return self.token_times[0] - self.sent_at

    @property
    def longest_gap_s(self) -> float:
        """The longest time between two tokens, in seconds."""
        pairs = zip(self.token_times, self.token_times[1:], strict=False)
        return max(after - before for before, after in pairs)


def run_stream(
    address: str, prompt: str, max_tokens: int, start_after_s: float = 0.0
) -> StreamRecord:
    """Requests one draft and records the time of each token."""
    gevent.sleep(start_after_s)
    times: list[float] = []
    caller = callers.Caller(address, random.Random(0))
    body = {
        'model': 'drafter:almaty-house',
        'prompt': prompt,
        'max_tokens': max_tokens,
        'user': 'almaty-retail',
    }
    sent_at = time.monotonic()
    answer = caller.draft(
        'steppe-thread', body, lambda _: times.append(time.monotonic())
    )
    return StreamRecord(sent_at, tuple(times), answer)


def run_streams(
    addresses: list[str], count: int, max_tokens: int, spread_s: float
) -> list[gevent.Greenlet]:
    """Starts ``count`` streams, spread over ``spread_s`` seconds."""
    return [
        gevent.spawn(
            run_stream,
            addresses[index % len(addresses)],
            f'prompt {index}',
            max_tokens,
            spread_s * index / count,
        )
        for index in range(count)
    ]


def percentile(values: list[float], percent: float) -> float:
    """Returns the value that ``percent`` of 100 values do not exceed."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]
