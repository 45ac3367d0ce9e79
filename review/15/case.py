"""A server's entry goes just after a machine's cut from the store has ended."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig_3 as rig  # noqa: E402

STABILITY_S = 3.0
DRAIN_S = 2.0
# Time measured here and there: the way of the answer and of the request.
SLACK_S = 0.1
CUT_S = 5.0
# From the end of the cut to the removal of the entry.
REMOVAL_S = 0.6
# A server that has left serves on for ``drain_ms`` and a little longer.
LINGER_S = 1.5
ROUNDS = 8
ROUND_S = 12.0
PERIOD_S = 0.04


async def client(world, instance, until):
    number = 0
    tasks = []

    async def one(rid):
        world.sent_at[rid] = time.monotonic()
        try:
            reply = await rig.request(
                *instance.address, 'POST', '/orders/1', body=b'x', rid=rid,
                timeout=4)
        except OSError:
            reply = None
        world.answers[reply.status if reply else None] += 1

    while time.monotonic() < until:
        number += 1
        tasks.append(asyncio.create_task(one(f'{instance.name}-{number}')))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)


class World(rig.World):
    def __init__(self):
        super().__init__()
        self.proxies = {}
        self.sent_at = {}
        self.answers = collections.Counter()

    def prepare(self, instance):
        proxy = rig.CutProxy('127.0.3.1', (self.store.ip, self.store.port))
        proxy.start()
        self.proxies[instance.name] = proxy
        instance.store_address = proxy.address

    async def stop(self):
        for proxy in self.proxies.values():
            proxy.stop()
        await super().stop()


async def play_round(world, number, left):
    """Cuts one machine, then lets a server leave without a word."""
    instance = world.instances[0]
    proxy = world.proxies[instance.name]
    if rig.trouble():
        proxy.cut()
        world.note('cut', instance=instance.name)
    await asyncio.sleep(CUT_S)
    if rig.trouble():
        proxy.heal()
        world.note('healed', instance=instance.name)
    healed_at = time.monotonic()
    await asyncio.sleep(REMOVAL_S)
    server = [each for each in world.servers if each.state == 'ready'][0]
    await world.store.remove(f'servers/{server.id}')
    removed_at = time.monotonic()
    server.state = 'left'
    world.note('entry_removed', server=server.id)
    left.append((server, healed_at, removed_at))
    added = rig.Server(world, f'i-new{number}', 'registry',
                       f'127.0.4.{number + 1}')
    world.servers.append(added)
    await added.start()
    await added.register()
    await asyncio.sleep(DRAIN_S + LINGER_S)
    await server.stop()
    world.note('server_ended', server=server.id)


def late_requests(world, left):
    """Returns the requests that reached servers after the bound."""
    found = []
    for server, healed_at, removed_at in left:
        allowed = removed_at + DRAIN_S + SLACK_S
        in_touch = healed_at + STABILITY_S + SLACK_S
        for at, what, fields in world.notes:
            at += world.begun
            if what != 'run' or fields['server'] != server.id:
                continue
            sent_at = world.sent_at[fields['id']]
            if at > allowed and sent_at > max(in_touch, allowed):
                found.append((fields['id'], server.id,
                              round((at - removed_at) * 1000),
                              round((sent_at - healed_at) * 1000)))
    return found


async def main():
    world, verdict, lines = World(), 2, []
    try:
        if not await world.start(plain=3, instances=2):
            lines.append('instances did not get ready')
            return world, verdict, lines
        await asyncio.sleep(4.0)
        until = time.monotonic() + ROUNDS * ROUND_S
        tasks = [asyncio.create_task(client(world, each, until))
                 for each in world.instances]
        left = []
        for number in range(ROUNDS):
            begun = time.monotonic()
            await play_round(world, number, left)
            await asyncio.sleep(ROUND_S - (time.monotonic() - begun))
        await asyncio.gather(*tasks)
        late = late_requests(world, left)
        verdict = int(bool(late))
        lines += [f'rounds: {ROUNDS}',
                  f'answers by status: {dict(world.answers)}',
                  f'requests that reached a server that had left, by '
                  f'machines in touch, after {DRAIN_S} s: {len(late)}']
        lines += [f'  {rid} reached {server} {after} ms after its entry was '
                  f'removed, sent {since} ms after the cut'
                  for rid, server, after, since in late]
    finally:
        await world.stop()
    return world, verdict, lines


if __name__ == '__main__':
    rig.finish(*(lambda w, v, l: (w, FOLDER, v, l))(*asyncio.run(main())))
