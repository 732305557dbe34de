Feature: operators' commands on jobs, with the programs as processes

  Scenario: a job is submitted, shown, listed and cancelled by commands
    Given an emulated platform and 2 nodes as processes
    Then "queues" exits 0 saying "queue: notices"
    And "list" exits 0 saying nothing
    When an operator submits a job with 2 steps of 3 tasks
    Then "show ID" comes to say "state: completed"
    And "show ID" exits 0 saying "phase: done"
    And "list --state completed --json" exits 0 saying "ID"
    And "list --state pending" exits 0 saying nothing
    And "cancel ID" exits 1 saying "completed already"
    And submitting it again under its id stores nothing new
    When an operator submits a job that lasts
    Then "show ID" comes to say "state: running"
    And "cancel ID" exits 0 saying "cancellation"
    And "show ID" comes to say "state: cancelled"

  Scenario Outline: what is wrong is named
    Given an emulated platform and 0 nodes as processes
    Then "<command>" exits <code> saying "<text>"

    Examples:
      | command                | code | text                          |
      | show 00ff              | 1    | no such job                   |
      | cancel 00ff            | 1    | no such job                   |
      | submit bills JOB       | 1    | no such queue                 |
      | submit notices /none   | 2    | /none                         |
      | submit notices EMPTY   | 2    | steps = None; allowed         |
      | submit notices STRANGE | 2    | steps[0].cores = 3; allowed   |
      | submit notices LOOP    | 2    | steps[0].after = [0]; allowed |

  Scenario: a store that does not answer has its own code
    Given an emulated platform and 0 nodes as processes
    When the emulated platform is ended
    Then "list" exits 3 saying "does not answer"

  Scenario: settings that cannot be used are named
    Then the jobs commands exit 2 naming a settings file that is not there
