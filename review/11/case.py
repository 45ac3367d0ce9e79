"""One spoilt answer of one of three servers: a head with a run of blanks."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig_3 as rig  # noqa: E402

BLANKS = 64000
# The faulty server spoils one answer in this many, once.
SPOILT_ONE_IN = 40
PLAY_S = 25.0
PERIOD_S = 0.04
# Time limit of a client, and the longest time of its route.
DEADLINE_S = 3.0
TIMEOUT_S = 1.5


class FaultyServer(rig.Server):
    """Sends bytes that are no answer in place of one of its answers."""

    answers = 0

    async def work(self, method, path, headers, reader, writer):
        self.answers += 1
        if not rig.trouble() or self.answers != SPOILT_ONE_IN:
            return await super().work(method, path, headers, reader, writer)
        await rig.read_body(reader, headers)
        self.world.note('spoilt', server=self.id,
                        id=headers.get('x-cactusmux-request-id'))
        writer.write(b'HTTP/1.1 200 OK\r\nX-Note:' + b' ' * BLANKS
                     + b'\x00\r\n\r\n')
        await writer.drain()
        await asyncio.sleep(0.5)
        return False


async def client(world, instance, number, found):
    rid = f'o-{number}'
    begun = time.monotonic()
    world.note('sent', id=rid)
    try:
        reply = await rig.request(
            *instance.address, 'POST', f'/orders/{number}', body=b'x',
            rid=rid, timeout=DEADLINE_S,
            headers={'X-Cactusmux-Deadline-Milliseconds':
                     str(int(DEADLINE_S * 1000))})
    except OSError:
        reply = None
    status = reply.status if reply else None
    after = time.monotonic() - begun
    found.append((status, after))
    world.note('answered', id=rid, status=status, after_s=round(after, 3))


async def main():
    world, verdict, lines = rig.World(), 2, []
    try:
        world.servers.append(
            FaultyServer(world, 'i-faulty', 'registry', '127.0.1.9'))
        if not await world.start(plain=2, instances=1):
            lines.append('the instance did not get ready')
            return world, verdict, lines
        await asyncio.sleep(4.0)
        found, tasks = [], []
        until = time.monotonic() + PLAY_S
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(
                client(world, world.instances[0], len(tasks), found)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*tasks)
        open_then = [each for each in found if each[1] > TIMEOUT_S]
        open_later = [each for each in open_then
                      if each[0] is None or each[1] > TIMEOUT_S + 0.5]
        verdict = int(len(open_later) > len(open_then) / 2
                      and len(open_later) >= 8)
        never = sum(status is None for status, _ in found)
        statuses = collections.Counter(status for status, _ in found)
        spoilt = sum(note[1] == 'spoilt' for note in world.notes)
        lines += [f'spoilt answers: {spoilt}',
                  f'requests: {len(found)}, by status {dict(statuses)}',
                  f'unanswered at {TIMEOUT_S} s: {len(open_then)}, of them '
                  f'half a second later: {len(open_later)}',
                  f'no answer within {DEADLINE_S} s: {never}',
                  f'process ended: {world.instances[0].process.poll()}']
    finally:
        await world.stop()
    return world, verdict, lines


if __name__ == '__main__':
    rig.finish(*(lambda w, v, l: (w, FOLDER, v, l))(*asyncio.run(main())))
