"""A server whose stream never ends in blank events stops a machine."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import world as w  # noqa: E402

TIMEOUT_S = 1.5
LATE_S = 0.5
REQUESTS = 12
FIRST = b'id: 1\ndata: token 1\n\n'
# The same event, without its data, again and again.
ENDLESS = b'id: 1\n\n' * 10000
# Clients leave a stream after a gap of two seconds between its events.
GAP_S = 2.0


async def run_endless(server, request, writer):
    """Answers with bytes that are no answer until the caller closes."""
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines += ['Transfer-Encoding: chunked']
    lines += [f'{k}: {v}' for k, v in server.seal(request).items()]
    writer.write('\r\n'.join([*lines, '', '']).encode())
    writer.write(b'%x\r\n%s\r\n' % (len(FIRST), FIRST))
    sent = 0
    server.record.add('endless_begun', server=server.id)
    try:
        while True:
            writer.write(b'%x\r\n%s\r\n' % (len(ENDLESS), ENDLESS))
            await writer.drain()
            sent += len(ENDLESS)
    finally:
        server.record.add('endless_ended', server=server.id, bytes=sent)


async def play(world, trouble):
    record = world.record
    await world.begin(machines=2, models=3)
    client = w.Client(record)
    first, second = world.machines
    until = w.now() + 25.0
    while True:
        answer = await client.ask(
            first, '/draft/1', headers=HEADERS, deadline_ms=20000
        )
        if answer.status == 200:
            break
        if w.now() > until:
            raise w.CannotRun('no stream is served')
        await asyncio.sleep(0.5)
    await asyncio.sleep(4.0)
    if trouble:
        # One of the three model servers: the one that gets the next request.
        faulty = []

        async def run(server, request, writer):
            if not faulty:
                faulty.append(server)
            if server in faulty:
                return await run_endless(server, request, writer)
            return await w.run_stream(server, request, writer)

        for server in world.servers:
            if server.kind:
                server.run = run
    draft = asyncio.create_task(
        client.ask(
            first, '/draft/1', headers=HEADERS, deadline_ms=20000,
            patience_s=GAP_S + 0.1,
        )
    )
    await asyncio.sleep(0.3)
    # Ordinary requests of other callers at the same machine.
    begun_at = w.now()
    answers = await asyncio.gather(
        *(
            client.ask(first, '/add/1', deadline_ms=3000)
            for _ in range(REQUESTS)
        )
    )
    others = await asyncio.gather(
        *(client.ask(second, '/add/1') for _ in range(4))
    )
    while await w.status_of(first.ready, '/readiness') != 200:
        if w.now() - begun_at > 25.0:
            break
    record.add('machine_answers_again', after_s=round(w.now() - begun_at, 1))
    took = [each.ended_at - each.sent_at for each in answers]
    unanswered = [each for each in took if each > TIMEOUT_S]
    late = [each for each in took if each > TIMEOUT_S + LATE_S]
    record.add(
        'judged', requests=len(took), unanswered_at_timeout=len(unanswered),
        later_than_half_a_second=len(late), slowest_s=round(max(took), 2),
        statuses=','.join(str(each.status) for each in answers),
        other_machine=','.join(str(each.status) for each in others),
    )
    await draft
    if len(late) >= 8 and len(late) > len(unanswered) / 2:
        return (
            f'CONFIG: {len(late)} of {len(took)} requests had no answer half'
            ' a second after their route\'s timeout_ms of 1500; the slowest'
            f' was given up by its client after {max(took):.1f} s'
        )
    return ''


HEADERS = {
    'X-Cactusmux-Model': 'm',
    'X-Cactusmux-Token-Counts': '774,210',
    'X-Cactusmux-Prompt-Prefix': '5c1e07a2:40,91bd3f06:734',
}
w.main(play, trouble=os.environ.get('TROUBLE', '1') != '0')
