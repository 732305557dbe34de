"""Steps for the keys of customers in requests, configurations and records."""

import json
import re

import cbor2
from behave import then

from cardamomgrade.errors import RecordError
from cardamomgrade.jobs.customers import Customer, key_digest, Limits
from cardamomgrade.jobs.queues import QueueConfig
from cardamomgrade.jobs.records import decode_job, encode
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.platform import ingress, records
from cardamomgrade.wire import HttpRequest

SECRET = "secret-1"
ESCAPE = re.compile(r"\\(t|x[0-9a-f]{2})")


def unescape(text):
    def char(match):
        return "\t" if match[1] == "t" else chr(int(match[1][1:], 16))

    return ESCAPE.sub(char, text)


def decode(*pairs):
    headers = tuple((name.encode(), value.encode("latin-1")) for name, value in pairs)
    return ingress.decode_key(HttpRequest("GET", "/q/", headers))


def config(tenants):
    text = '{"version":1,"routes":[],"services":[],"tenants":' + tenants + "}"
    return records.decode_config(text.encode())


@then('a request with {headers} carries the key "{key}"')
def step_key(context, headers, key):
    lines = [] if headers == "no headers" else headers.split("; ")
    pairs = [unescape(line).split(": ") for line in lines]
    assert decode(*pairs) == key, (headers, decode(*pairs))


@then('a request with {headers} carries the key ""')
def step_no_key(context, headers):
    step_key(context, headers, "")


@then("a key of 512 characters is read, and one of 513 is not")
def step_long(context):
    assert decode(("authorization", "Bearer " + "k" * 512)) == "k" * 512
    assert decode(("authorization", "Bearer " + "k" * 513)) == ""


@then("every byte after a configured key gives no customer or that key's customer")
def step_odd(context):
    cfg = QueueConfig(1, customers=(Customer("a", key_digests=(key_digest("k1"),)),))
    found = [
        code
        for code in range(256)
        if cfg.customer_of_key(decode(("authorization", f"Bearer k1{chr(code)}")))
    ]
    # Spaces and tabs around a header's value do not belong to it.
    assert found == [ord("\t"), ord(" ")], found
    for code in range(256):
        key = decode(("authorization", f"Bearer {chr(code)}"))
        assert cfg.customer_of_key(key) is None


@then("the customers of a configuration have their limits, shares and digests")
def step_customers(context):
    cfg = config(
        '[{"name":"a","apiKeys":["secret-1","k2"],"weight":2.5,'
        '"maxCount":{"cpu":4000,"memMb":512,"gpu":1}},{"name":"b"}]'
    )
    digests = (key_digest(SECRET), key_digest("k2"))
    assert cfg.customers == (
        Customer("a", 2.5, Limits(4000, 512, 1), digests),
        Customer("b"),
    )
    assert cfg.customer_of_key(SECRET).name == cfg.customer("a").name == "a"
    assert cfg.customer("c") is cfg.customer_of_key("k3") is None
    assert cfg.customer_of_key("") is None
    shown = repr(cfg)
    assert SECRET not in shown and key_digest(SECRET).hex() not in shown
    assert repr(key_digest(SECRET)) not in shown
    without = records.decode_config(b'{"version":1,"routes":[],"services":[]}')
    assert without.customers is None


@then("a configuration with tenants {tenants} is rejected without showing a key")
def step_rejected(context, tenants):
    try:
        config(tenants)
    except RecordError as exc:
        assert SECRET not in str(exc), exc
        return
    raise AssertionError("the configuration was accepted")


@then("the first of two customers with one key has it")
def step_first(context):
    tenants = [{"name": name, "apiKeys": [SECRET]} for name in ("b", "a")]
    assert config(json.dumps(tenants)).customer_of_key(SECRET).name == "b"


def spec(customer=""):
    steps = (Step(2, 1000, 100),)
    return JobSpec("00000000000000aa", "q", "s", "t", 7, steps, customer=customer)


@then(
    "a job without a customer is stored with 10 fields and one with a customer with 11"
)
def step_fields(context):
    for customer, count in (("", 10), ("a", 11)):
        data = encode(spec(customer))
        assert len(cbor2.loads(data)) == count
        assert decode_job(data) == spec(customer)


@then("a record of an earlier version is read as that of a job without a customer")
def step_earlier(context):
    row = ["00000000000000aa", "q", "s", "t", 7, [[2, 1000, 100]], 0, 0, 0, 1]
    assert decode_job(cbor2.dumps(row)) == spec()


@then("the record of a job whose customer is no text is rejected")
def step_no_text(context):
    for value in (7, None, b"a", ["a"]):
        row = [*cbor2.loads(encode(spec("a")))[:-1], value]
        try:
            decode_job(cbor2.dumps(row))
        except RecordError:
            continue
        raise AssertionError(value)
