Feature: failures that an entry meets

  Scenario Outline: the only endpoint fails a request that must not be repeated
    Given an entry and an endpoint that <fault>
    When a caller sends POST /notices/7 with the body "pay"
    Then the answer has the outcome <outcome>
    And the endpoint received the request <count> times

    Examples:
      | fault                         | outcome | count |
      | refuses connections           | not-run | 0     |
      | closes before its answer      | unknown | 1     |
      | closes during its answer      | unknown | 1     |
      | never answers                 | unknown | 1     |
      | echoes another id             | unknown | 1     |
      | answers without a length      | unknown | 1     |
      | answers with two lengths      | unknown | 1     |
      | sends other data than HTTP    | unknown | 1     |

  Scenario Outline: an idempotent request is tried at another endpoint
    Given an entry, an endpoint that <fault> and a healthy one
    When a caller sends GET /notices/7 until the faulty endpoint was tried
    Then every answer was 200

    Examples:
      | fault                    |
      | refuses connections      |
      | closes before its answer |
      | closes during its answer |
      | never answers            |
      | echoes another id        |

  Scenario Outline: a request that must not be repeated is sent to one endpoint only
    Given an entry, an endpoint that <fault> and a healthy one
    When a caller sends POST /notices/7 until the faulty endpoint was tried
    Then all answers but the last are 200 and the last is <outcome>
    And both endpoints together received each request at most once

    Examples:
      | fault                    | outcome  |
      | refuses connections      | answered |
      | closes before its answer | unknown  |
      | closes during its answer | unknown  |
      | never answers            | unknown  |

  Scenario: a response after the deadline is sent to no caller
    Given an entry and an endpoint that answers after the deadline
    When a caller sends POST /notices/7 with the body "pay"
    Then the answer has the outcome unknown
    When the late answer has arrived and the endpoint answers in time
    And a caller sends POST /notices/8 with the body "pay"
    Then the answer is 200 and carries its own request's id

  Scenario: a pooled connection is reset as the next request is sent on it
    Given an entry and an endpoint that answers completely
    When a request has been answered and its connection is reset before the next read
    And a request that must not be repeated is given to the entry
    Then its outcome is unknown and after the deadline no request or slot is left open
    And the entry answers the next request

  Scenario: an entry resumes when the deadlines of all waiting requests have passed
    Given an entry and an endpoint that never answers
    When 1500 requests wait and the entry is blocked past their deadline
    Then each has one answer, unknown or not-run, and no request or slot is left open

  Scenario: slots are withdrawn between choice and use
    Given two entries, 1 endpoints and a bundle
    When the ledger of e1 no longer grants a slot that it has reported as free
    And a caller sends POST /notices/7 with the body "pay"
    Then the answer has the outcome not-run
    And no endpoint ran anything
