"""HTTP handler of the fake platform."""

from features.fakes.fake_platform import FakePlatform
from trio import sleep_forever

from jackdawspread.codecs.json_body import decode_json
from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse


class PlatformHandler:
    """Answers table calls.

    While ``is_silent_for_writes`` is set, the next write is executed but not answered.
    """

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.is_silent_for_writes = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        if not self.platform.is_up:
            return HttpResponse(503, (), b'{"code": "down", "detail": "down"}')
        body = decode_json(request.body, dict).ok
        status, answer = self.platform.call(request.target, body)
        if self.is_silent_for_writes and "put" in body:
            self.is_silent_for_writes = False
            await sleep_forever()
        return HttpResponse(status, (), encode_json(answer))
