#!/usr/bin/env node
// Exists before the build, so that npm links it at installation.
import '../dist/main.js';
