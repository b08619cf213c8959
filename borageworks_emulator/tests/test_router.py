"""Tests of complete routers with emulated endpoints and a real model client."""

import asyncio
import hashlib
import time

import aiohttp
import openai
import testtools

from borageworks.catalog.keys import CATALOG_PREFIX
from borageworks.catalog.objects import (
    Endpoint,
    Organisation,
    Pool,
    PoolKind,
    Service,
    Ticket,
)
from borageworks.catalog.tickets import apply_ticket
from borageworks.metrics import Metrics
from borageworks.router.router import Router
from borageworks.store.etcd import EtcdStore
from borageworks_emulator.engine import EmulatedEngine, EngineProfile, expected_content
from borageworks_emulator.fleet import router_settings
from borageworks_emulator.probe import wait_ready
from borageworks_emulator.service import EmulatedService, ServiceProfile
from borageworks_emulator.store import EmulatedStore
from borageworks_emulator.topology import PATITSA

KEY = "key-a"
HEADERS = {"Authorization": f"Bearer {KEY}"}


def endpoint_object(endpoint, pool):
    return Endpoint.model_validate(
        {
            "id": endpoint.recording.endpoint,
            "pool": pool,
            "domain": PATITSA.domains[0],
            "host": endpoint.host,
            "port": endpoint.port,
        }
    )


class Deployment:
    """Two routers with an engine, a plain service and a store."""

    async def __aenter__(self):
        self.store = EmulatedStore()
        await self.store.start()
        self.engine = EmulatedEngine("engine-0", "models", EngineProfile())
        self.plain_service = EmulatedService("desk-0", "desks", ServiceProfile())
        for endpoint in (self.engine, self.plain_service):
            await endpoint.start()
        self.settings = router_settings(
            PATITSA, 2, self.store.url, {"shutdown": {"balancer_lag_s": 0.2}}
        )
        self.routers = [Router(settings) for settings in self.settings]
        for router in self.routers:
            await router.start()
        store = EtcdStore(self.settings[0].store, Metrics())
        await apply_ticket(store, CATALOG_PREFIX, self.ticket())
        await store.close()
        self.session = aiohttp.ClientSession()
        for url in self.urls:
            await wait_ready(self.session, url, 20.0)
            await self.wait_for_configuration(url)
        return self

    async def __aexit__(self, *args):
        await self.session.close()
        for router in self.routers:
            await router.stop()
        for component in (self.engine, self.plain_service, self.store):
            await component.stop()

    @property
    def urls(self):
        return [f"http://127.0.0.1:{router.address[1]}" for router in self.routers]

    def ticket(self):
        key = hashlib.sha256(KEY.encode()).hexdigest()
        return Ticket(
            number=1,
            put=(
                Organisation(id="a", share=1.0, keys=(key,)),
                Pool(id="models", endpoints=PoolKind.ENGINE),
                Pool(id="desks", endpoints=PoolKind.PLAIN),
                Service(id="guide", pool="models"),
                Service(id="booking", pool="desks", idempotent=False),
                endpoint_object(self.engine, "models"),
                endpoint_object(self.plain_service, "desks"),
            ),
        )

    async def wait_for_configuration(self, url):
        async with asyncio.timeout(20):
            while True:
                async with self.session.get(
                    f"{url}/v1/models", headers=HEADERS
                ) as response:
                    if response.status == 200:
                        return
                await asyncio.sleep(0.05)

    async def book(self, url, key, body=b"one coop"):
        async with self.session.post(
            f"{url}/services/booking/orders",
            data=body,
            headers={**HEADERS, "Idempotency-Key": key},
        ) as response:
            return response.status, await response.read(), response.headers

    def client(self, url):
        return openai.AsyncOpenAI(base_url=f"{url}/v1", api_key=KEY, max_retries=0)


class RouterTest(testtools.TestCase):
    def run_with(self, scenario):
        async def run():
            async with Deployment() as deployment:
                await scenario(deployment)

        asyncio.run(run())

    def test_a_model_client_gets_complete_responses(self):
        """Guards against response formats that model clients do not accept."""

        async def scenario(deployment):
            messages = [{"role": "user", "content": "how do I build a duck house"}]
            for url in deployment.urls:
                client = deployment.client(url)
                models = [model.id async for model in client.models.list()]
                self.assertEqual(["guide"], models)
                body = {"model": "guide", "messages": messages, "max_tokens": 12}
                expected = expected_content(body)
                completion = await client.chat.completions.create(**body)
                self.assertEqual(expected, completion.choices[0].message.content)
                stream = await client.chat.completions.create(**body, stream=True)
                contents = [
                    choice.delta.content or ""
                    async for chunk in stream
                    for choice in chunk.choices
                ]
                self.assertEqual(expected, "".join(contents))
                error = await self.request_unknown_model(client, messages)
                self.assertEqual(404, error.status_code)
                await client.close()

        self.run_with(scenario)

    async def request_unknown_model(self, client, messages):
        try:
            await client.chat.completions.create(model="none", messages=messages)
        except openai.APIStatusError as error:
            return error
        return None

    def test_a_resend_to_another_router_gets_the_first_response(self):
        """Guards against bookings that run twice, and against lost responses."""

        async def scenario(deployment):
            first, second = deployment.urls
            key = f"{int(time.time())}-coop-7"
            status, body, _ = await deployment.book(first, key)
            self.assertEqual(200, status)
            for url in (second, first):
                repeated_status, repeated_body, headers = await deployment.book(
                    url, key
                )
                self.assertEqual((200, body), (repeated_status, repeated_body))
                self.assertEqual("true", headers["Idempotent-Replayed"])
            status, body, _ = await deployment.book(second, key, b"two coops")
            self.assertEqual(422, status)
            self.assertIn(b"idempotency_key_reused", body)
            self.assertEqual(1, len(deployment.plain_service.recording.runs))

        self.run_with(scenario)

    def test_a_booking_continues_after_its_caller_disconnects(self):
        """Guards against bookings that are cancelled or lost with their connection."""

        async def scenario(deployment):
            first, second = deployment.urls
            key = f"{int(time.time())}-coop-8"
            body = b'{"duration_ms": 600}'
            booking = asyncio.create_task(deployment.book(first, key, body))
            await asyncio.sleep(0.3)
            booking.cancel()
            statuses = set()
            async with asyncio.timeout(20):
                while True:
                    status, text, _ = await deployment.book(second, key, body)
                    statuses.add(status)
                    if status == 200:
                        break
                    self.assertIn(b"request_in_progress", text)
                    await asyncio.sleep(0.1)
            self.assertEqual({409, 200}, statuses)
            self.assertEqual(1, len(deployment.plain_service.recording.runs))

        self.run_with(scenario)

    def test_invalid_keys_and_an_unavailable_store_run_nothing(self):
        """Guards against a false 'not run' and against runs without a claim."""

        async def scenario(deployment):
            url = deployment.urls[0]
            now = int(time.time())
            cases = [
                ("no-time", 400, b"idempotency_key_malformed"),
                (f"{now - 7200}-old", 409, b"idempotency_key_expired"),
                (f"{now + 7200}-early", 409, b"idempotency_key_expired"),
            ]
            for key, expected, code in cases:
                status, body, _ = await deployment.book(url, key)
                self.assertEqual(expected, status, body)
                self.assertIn(code, body)
                self.assertIn(b'"not_run"', body)
            deployment.store.unavailable = True
            status, body, _ = await deployment.book(url, f"{now}-down")
            self.assertEqual(503, status)
            self.assertIn(b"claim_unavailable", body)
            self.assertIn(b'"not_run"', body)
            deployment.store.unavailable = False
            self.assertEqual([], deployment.plain_service.recording.runs)

        self.run_with(scenario)

    def test_shutdown_finishes_running_streams(self):
        """Guards against a graceful shutdown that ends a stream early."""

        async def scenario(deployment):
            client = deployment.client(deployment.urls[0])
            body = {
                "model": "guide",
                "messages": [{"role": "user", "content": "a long guide"}],
                "max_tokens": 60,
            }
            stream = await client.chat.completions.create(**body, stream=True)
            stream_chunks = aiter(stream)
            received = [await anext(stream_chunks)]
            stop = asyncio.create_task(deployment.routers[0].stop())
            received += [chunk async for chunk in stream_chunks]
            text = "".join(
                choice.delta.content or ""
                for chunk in received
                for choice in chunk.choices
            )
            self.assertEqual(expected_content(body), text)
            await stop
            await client.close()
            deployment.routers.pop(0)

        self.run_with(scenario)
