Feature: idempotency keys at the entries

  Scenario: the same key at two entries at once runs once
    Given two entries and a slow enough endpoint for keyed requests
    When the same key is sent to both entries 15 times in each of 4 rounds
    Then of each key one request was answered, the others were told duplicate
    And each key ran once

  Scenario: a key that ran is a duplicate later and at another entry
    Given two entries and a slow enough endpoint for keyed requests
    When the key "k1" is sent to e1 and then to e2
    Then the first was answered and the second told duplicate

  Scenario Outline: the log fails while keyed requests come
    Given two entries and a slow enough endpoint for keyed requests
    When the log <fault> and the key "k1" is sent to e1
    Then the keyed request is told not-run with a time to come back
    And a request without a key is answered
    When the log is up again and the key "k1" is free
    Then the key "k1" runs once at e2

    Examples:
      | fault                    |
      | is down                  |
      | hangs                    |
      | is slower than deadlines |

  Scenario: the answer of an append is lost
    Given two entries and a slow enough endpoint for keyed requests
    When the answer to the next append is lost and the key "k1" is sent to e1
    Then the keyed request is answered
    And the key "k1" ran once in all

  Scenario: a claimed request that could not be sent frees its key
    Given two entries and a keyed endpoint that refuses connections
    When the key "k1" is sent to e1
    Then the keyed request is told not-run with a time to come back
    When the endpoint accepts connections and the key "k1" is free
    Then the key "k1" runs once at e2

  Scenario: a newcomer with a truncated log refuses keyed requests
    Given two entries and a slow enough endpoint for keyed requests
    When 6 keys have run and the log keeps only 3 claims
    And the newcomer e2 takes over from an earlier process of e2
    Then its keyed requests are told not-run and the others are answered
