Feature: loop

  Scenario: the poller does not delay the end of a run
    Given a loop whose next timer is due in 100 seconds
    When its run is finished from a callback
    Then the poller waits 0 seconds
    When its awaited condition holds
    Then the poller waits 0 seconds

  Scenario: a signal that arrives before the loop runs is not lost
    Given a loop with a callback for stop signals
    When SIGTERM arrives before it runs
    Then the loop runs the callback and ends

  Scenario: a failure also ends a run with a timeout
    Given a loop whose next timer is due in 100 seconds
    When it fails while it runs until a condition holds
    Then the bounded run ends with the exit status of an internal error
