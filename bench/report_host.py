"""Serves the reports of synthetic targets, on one port each."""

from gevent import monkey

monkey.patch_all()

from collections.abc import Iterable  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
from typing import Any  # noqa: E402

from cactusmux_platform import targets  # noqa: E402
import gevent  # noqa: E402
from gevent import pywsgi  # noqa: E402
import msgspec  # noqa: E402

STREAMS = 24


class ReportServer:
    """A target whose load does a random walk, one step per poll."""

    def __init__(self, number: int) -> None:
        self._rng = random.Random(number)
        self._running = self._rng.randrange(STREAMS)
        self._queued = 0
        first = 8 * (number % 8)
        self._holding = targets.Holding(
            f'model-{number % 8}', 'v3', first, first + 8, ('studio-1',)
        )
        self._server = pywsgi.WSGIServer(
            ('127.0.0.1', 0), self._serve, log=None, error_log=None
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def _serve(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        step = self._rng.choice((-2, -1, 0, 0, 1, 2))
        self._running = min(STREAMS, max(0, self._running + step))
        self._queued = self._rng.choice((0, 0, 0, 1, 2))
        report = targets.TargetReport(
            self.address,
            (self._holding,),
            2000.0,
            self._running,
            self._queued,
        )
        start_response('200 OK', [('Content-Type', 'application/json')])
        return [msgspec.json.encode(report)]


def main() -> None:
    """Serves the number of targets given by the first argument."""
    servers = [ReportServer(number) for number in range(int(sys.argv[1]))]
    print(json.dumps([server.address for server in servers]), flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)


if __name__ == '__main__':
    main()
