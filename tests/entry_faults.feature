Feature: failures that an entry meets

  Scenario Outline: one endpoint fails a request that must run once
    Given an entry and an endpoint that <fault>
    When a caller sends POST /notices/7 with the body "pay"
    Then the caller is now told <outcome>
    And the endpoint was given the request <count> times

    Examples:
      | fault                         | outcome | count |
      | refuses connections           | not-run | 0     |
      | closes before its answer      | unknown | 1     |
      | closes within its answer      | unknown | 1     |
      | never answers                 | unknown | 1     |
      | echoes another id             | unknown | 1     |
      | answers without a length      | unknown | 1     |
      | answers with two lengths      | unknown | 1     |
      | answers no HTTP               | unknown | 1     |

  Scenario Outline: an idempotent request is tried at another endpoint
    Given an entry, an endpoint that <fault> and a sound one
    When a caller sends GET /notices/7 until the faulty endpoint was tried
    Then every answer was 200

    Examples:
      | fault                    |
      | refuses connections      |
      | closes before its answer |
      | closes within its answer |
      | never answers            |
      | echoes another id        |

  Scenario Outline: a request that must run once is sent to one endpoint only
    Given an entry, an endpoint that <fault> and a sound one
    When a caller sends POST /notices/7 until the faulty endpoint was tried
    Then the caller is told <outcome> at last
    And both endpoints together were given each request at most once

    Examples:
      | fault                    | outcome  |
      | refuses connections      | answered |
      | closes before its answer | unknown  |
      | closes within its answer | unknown  |
      | never answers            | unknown  |

  Scenario: a late answer reaches nobody
    Given an entry and an endpoint that answers after the deadline
    When a caller sends POST /notices/7 with the body "pay"
    Then the caller is now told unknown
    When the late answer has come and the endpoint answers in time
    And a caller sends POST /notices/8 with the body "pay"
    Then the answer is 200 and carries its own request's id

  Scenario: a pooled connection is reset as the next request is sent on it
    Given an entry and an endpoint that answers whole
    When a request has been answered and its connection is reset unseen
    And a request that must run once is handed to the entry
    Then it is told unknown and the entry holds nothing after the deadline
    And the entry answers the next request

  Scenario: an entry wakes when all that waits is too late
    Given an entry and an endpoint that never answers
    When 1500 callers' requests wait and the entry sleeps past their deadline
    Then each has one answer, unknown or not-run, and the entry holds nothing

  Scenario: slots are withdrawn between choice and use
    Given two entries, 1 endpoints and a bundle
    When the ledger of e1 grants a slot no more that it has shown as free
    And a caller sends POST /notices/7 with the body "pay"
    Then the caller is now told not-run
    And no endpoint ran anything
