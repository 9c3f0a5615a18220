"""Small fakes for tests of the policy."""

from result import Err, Ok

from amaranthlug.coordination.platform import PlatformError
from amaranthlug.state.members import Member


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        """Starts at 1,000 s."""
        self.time = 1000.0

    def __call__(self):
        """Returns the time in seconds."""
        return self.time


class FakeMembers:
    """A fixed list of members."""

    def __init__(self, count=3, me=0):
        """Creates `count` live members in three zones."""
        self.all = [
            Member(f"127.0.0.1:{i}", f"zone-{i % 3}", f"inc-{i}")
            for i in range(count)
        ]
        self.me = self.all[me]

    def members(self):
        """Returns all members."""
        return self.all

    live = members


class FakeRatings:
    """A rating service that answers from a list or is out."""

    def __init__(self):
        """Creates a service that is up."""
        self.out = False
        self.samples = []
        self.ratings = []

    def submit(self, samples):
        """Keeps samples."""
        if self.out:
            return Err(PlatformError("rating", "out"))
        self.samples += samples
        return Ok(None)

    def fetch(self, after):
        """Returns ratings after a position."""
        if self.out:
            return Err(PlatformError("rating", "out"))
        return Ok([r for r in self.ratings if r.seq > after])


class FakeMetrics:
    """Counters in a map."""

    def __init__(self):
        """Creates empty counters."""
        self.counters = {}

    def incr(self, name, count=1):
        """Adds to a counter."""
        self.counters[name] = self.counters.get(name, 0) + count

    def gauge(self, name, value):
        """Ignores gauges."""

    timing = gauge
