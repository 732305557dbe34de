Feature: idempotency keys at the entries

  Scenario: a key sent to two entries at the same time runs once
    Given two entries and an endpoint slow enough for keyed requests
    When the same key is sent to both entries 15 times in each of 4 rounds
    Then one request per key was answered and the others were refused as duplicate
    And each key ran once

  Scenario: a key that ran is later a duplicate at another entry
    Given two entries and an endpoint slow enough for keyed requests
    When the key "k1" is sent to e1 and then to e2
    Then the first was answered and the second refused as duplicate

  Scenario Outline: keyed requests are refused while the log fails
    Given two entries and an endpoint slow enough for keyed requests
    When the log <fault> and the key "k1" is sent to e1
    Then the keyed request is refused as not-run with a retry-after time
    And a request without a key is answered
    When the log is up again and the key "k1" is free
    Then the key "k1" runs once at e2

    Examples:
      | fault                    |
      | is down                  |
      | hangs                    |
      | is slower than deadlines |

  Scenario: the answer of an append is lost
    Given two entries and an endpoint slow enough for keyed requests
    When the answer to the next append is lost and the key "k1" is sent to e1
    Then the keyed request is answered
    And the key "k1" ran once in all

  Scenario: a claimed request that could not be sent releases its key
    Given two entries and a keyed endpoint that refuses connections
    When the key "k1" is sent to e1
    Then the keyed request is refused as not-run with a retry-after time
    When the endpoint accepts connections and the key "k1" is free
    Then the key "k1" runs once at e2

  Scenario: a new entry process refuses keyed requests after the log was truncated
    Given two entries and an endpoint slow enough for keyed requests
    When 6 keys have run and the log keeps only 3 claims
    And a new process of e2 replaces an earlier one
    Then its keyed requests are refused as not-run and the others are answered
