"""An entry that can't be read hides all later changes of servers."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import world as w  # noqa: E402

DRAIN_S = 2.0
ACKNOWLEDGE_S = 4.0
# Bytes that can't be read: an object that is nested and never ends.
UNREADABLE = b'{"x":' + b'[' * 2000


async def replace_all(world, client):
    """Replaces all servers one after the other; for the record only."""
    old = list(world.servers)
    for _ in old:
        server = w.Server(
            world.store, world.record, 'registry', 'surco', w.run_plain
        )
        await server.start()
    for server in old:
        server.state, server.leaving = 'draining', True
        await server.write_entry()
    await asyncio.sleep(2 * DRAIN_S)
    for server in old:
        await world.store.remove(f'servers/{server.id}')
        server.end()
    await asyncio.sleep(3.0)
    answers = [
        await client.ask(machine, '/add/1')
        for machine in world.machines
        for _ in range(5)
    ]
    world.record.add(
        'after_release',
        statuses=','.join(str(each.status) for each in answers),
    )


async def play(world, trouble):
    record = world.record
    await world.begin(machines=2)
    client = w.Client(record)
    for machine in world.machines:
        for _ in range(4):
            answer = await client.ask(machine, '/add/1')
            if answer.status != 200:
                raise w.CannotRun(f'no answer before: {answer.status}')
    if trouble:
        await world.store.put('servers/other-writer', UNREADABLE)
        record.add('entry_written', key='servers/other-writer')
    await asyncio.sleep(4.0)
    leaver = world.servers[0]
    leaver.state = 'draining'
    leaver.leaving = True
    await leaver.write_entry()
    confirmed_at = w.now()
    record.add('draining_confirmed', server=leaver.id)
    # Nobody asks for a while, so no answer tells that it leaves.
    await asyncio.sleep(ACKNOWLEDGE_S + DRAIN_S + 1.0)
    reached = []

    async def run(server, request, writer):
        reached.append(request.headers['x-cactusmux-request-id'])
        return await w.run_plain(server, request, writer)

    leaver.run = run
    for _ in range(6):
        await asyncio.gather(
            *(
                client.ask(machine, '/add/1')
                for machine in world.machines
                for _ in range(2)
            )
        )
    record.add(
        'reached_leaving_server', count=len(reached),
        after_s=round(w.now() - confirmed_at, 1),
    )
    await replace_all(world, client)
    if reached:
        return (
            f'DRAIN: {len(reached)} requests reached a server later than'
            ' drain_ms after the store had confirmed that it is draining'
        )
    return ''


w.main(play, trouble=os.environ.get('TROUBLE', '1') != '0')
