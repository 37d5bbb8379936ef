/** Small fakes of the platform with injectable faults. */
export {};
