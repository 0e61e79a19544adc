"""The agent processes beside a target, which decide on and start its tasks.

There are two agents. `process` drives the one for the project's own protocol;
`core` decides for it, with the help of `inputs`, `actions`, `entry_streams`,
`start_records`, `task_queue` and `target_client`. `run_process` drives the one
for the users' platform; `run_guard` decides for it, with the help of
`run_actions`, `entry_session`, `completions`, `run` and `run_target_client`.
"""
