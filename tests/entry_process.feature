Feature: entries as processes

  Scenario: SIGTERM finishes the requests in flight
    Given the entries e1 and e2 as processes and 2 endpoints
    When a request of 700 ms runs through e1 and e1 gets SIGTERM
    Then e1 takes no new requests and ends with 0 after the answer
    And the log shows that e1 left after its request had ended
    And e2 answers requests

  Scenario: a second SIGTERM ends an entry at once
    Given the entries e1 and e2 as processes and 2 endpoints
    When a request of 700 ms runs through e1 and e1 gets SIGTERM
    And e1 gets SIGTERM again
    Then e1 ends with 1 before the request has ended

  Scenario: an entry that was frozen while it claimed a key does not run the request
    Given the entries e1 and e2 as processes and 2 endpoints
    When e1 freezes while a request waits for the claim of its idempotency key
    And e1 resumes when the deadline has passed
    Then the frozen request is not-run and ran on no endpoint
    And its key can be claimed again through e2

  Scenario: an entry that was frozen through the start of a drain
    Given the entries e1 and e2 as processes and 2 endpoints
    When e1 and e2 have acknowledged a batch with vm0
    And e1 freezes for longer than the lease while the drain starts
    And 10 requests wait at e1 when it wakes
    Then all of them are answered by vm1

  Scenario: an entry is killed under load and replaced
    Given the entries e1 and e2 as processes and 2 endpoints
    When 200 requests that must not be repeated go to e1 and e2 and e1 is killed
    Then no request ran twice and none with the outcome not-run ran
    And every request to e2 has an answer
    When the process e1 is replaced
    Then the new e1 answers requests with a later incarnation

  Scenario: an entry starts while the log is down
    Given the entries e1 and e2 as processes and 2 endpoints
    When the log hangs until the lease has passed and e2 is killed
    And the process e2 is replaced
    Then the new e2 answers requests and refuses those with an idempotency key
    When the log answers again
    Then the new e2 becomes a member and e1 delays acknowledgements
