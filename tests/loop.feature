Feature: loop

  Scenario: an end of the run is not held up by the poller
    Given a loop whose next timer is far away
    When its run is finished from a callback
    Then the poller waits 0 seconds
    When its awaited condition holds
    Then the poller waits 0 seconds

  Scenario: a signal that comes before the loop runs is not lost
    Given a loop that is told what to do at a stop
    When SIGTERM comes before it runs
    Then the loop runs and leaves in order

  Scenario: a failure ends a bounded run as well
    Given a loop whose next timer is far away
    When it fails while it runs until a condition holds
    Then the bounded run ends with the status of an internal error
