Feature: operators' commands on jobs, with all programs as processes

  Scenario: commands submit, show, list and cancel jobs
    Given an emulated platform and 2 nodes as processes
    Then "queues" exits 0 printing "queue: notices"
    And "list" exits 0 printing nothing
    When an operator submits a job with 2 steps of 3 tasks
    Then "show ID" eventually prints "state: completed"
    And "show ID" exits 0 printing "phase: done"
    And "list --state completed --json" exits 0 printing "ID"
    And "list --state pending" exits 0 printing nothing
    And "cancel ID" exits 1 printing "completed already"
    And submitting it again under its id stores nothing new
    When an operator submits a long-running job
    Then "show ID" eventually prints "state: running"
    And "cancel ID" exits 0 printing "cancellation"
    And "show ID" eventually prints "state: cancelled"

  Scenario Outline: errors name the wrong argument or field
    Given an emulated platform and 0 nodes as processes
    Then "<command>" exits <code> printing "<text>"

    Examples:
      | command                | code | text                          |
      | show 00ff              | 1    | no such job                   |
      | cancel 00ff            | 1    | no such job                   |
      | submit bills JOB       | 1    | no such queue                 |
      | submit notices /none   | 2    | /none                         |
      | submit notices EMPTY   | 2    | steps = None; allowed         |
      | submit notices STRANGE | 2    | steps[0].cores = 3; allowed   |
      | submit notices LOOP    | 2    | steps[0].after = [0]; allowed |

  Scenario: an unreachable store has an exit code of its own
    Given an emulated platform and 0 nodes as processes
    When the emulated platform is terminated
    Then "list" exits 3 printing "does not answer"

  Scenario: settings that cannot be used are named
    Then the jobs commands exit 2 naming the missing settings file
