Feature: queues that take turns get the VMs that they need, and none is starved by another

  A job needs 18 cores for 0.64 s, and is in time 1.6 s after it was accepted. 1 VM has 16
  cores.

  Scenario: a queue that rises within two seconds to half the estate is served in time
    Given an estate of 240 VMs with queues a, b, c and d
    And queue a rises to 110 jobs a second from second 6 to 16
    When 20 s have been simulated
    Then at least 90% of the jobs of queue a in the seconds 10 to 16 are in time
    And more of its jobs in the seconds 6 to 16 are in time than with fixed pools

  Scenario: a queue with three times what the estate holds does not starve the others
    Given an estate of 60 VMs with queues a, b and c
    And queue a rises to 120 jobs a second from second 4 to 20
    And queue b rises to 11 jobs a second from second 8 to 18
    And queue c rises to 11 jobs a second from second 10 to 20
    When 24 s have been simulated
    Then at least 90% of the jobs of queue b in the seconds 12 to 18 are in time
    And at least 90% of the jobs of queue c in the seconds 14 to 20 are in time

  Scenario Outline: two turns are served as well, with less, by a mechanism of the pools
    Guards against pools that run all that waits at once, although jobs may wait for a
    part of their time, and against VMs that are switched off and on again.
    Given an estate of 60 VMs with queues a and b whose jobs have 2 steps
    And queue a rises to 12 jobs a second from second 6 to 16
    And queue b rises to 12 jobs a second from second 15 to 25
    When 30 s have been simulated with and without <mechanism>
    Then fewer <measure> are used with it
    And as many jobs of queues a and b are in time, within 1%

    Examples:
      | mechanism | measure    |
      | open-work | VM-seconds |
      | open-work | moves      |
      | reuse     | moves      |

  Scenario: VMs follow a turn that begins while another one ends
    Given an estate of 180 VMs with queues a, b and c
    And queue a rises to 90 jobs a second from second 4 to 14
    And queue b rises to 90 jobs a second from second 12 to 22
    When 26 s have been simulated
    Then at least 90% of the jobs of queue b in the seconds 17 to 22 are in time
